// Guards against pages that name a test, file, package or identifier which was renamed or removed.

package main

import (
	"fmt"
	"go/ast"
	"go/parser"
	"go/token"
	"io/fs"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"

	. "github.com/onsi/gomega"
)

var (
	testName  = regexp.MustCompile(`\b(?:Test|Fuzz|Benchmark)[A-Z]\w*`)
	codeSpan  = regexp.MustCompile("`[^`\n]+`")
	filePath  = regexp.MustCompile(`(?:^|[^\w./-])([a-z]+(?:/[\w.-]*\w)+)`)
	selector  = regexp.MustCompile(`(?:^|[^\w./"])(\w+)\.([A-Z]\w*)(?:\.([A-Z]\w*))?`)
	topFolder = map[string]bool{"internal": true, "platform": true, "cmd": true, "commands": true, "deploy": true}
)

// sourceNames holds what the Go files of the repository declare.
type sourceNames struct {
	tests    map[string]bool
	packages map[string]map[string]bool // identifiers by package name
	members  map[string]map[string]bool // methods and fields by type name
	areas    map[string]bool            // folders of internal/
}

func TestPagesNameWhatExists(t *testing.T) {
	g := NewWithT(t)
	names := readSource(g)
	checks := map[string]func(page string) []string{
		"tests":       names.missingTests,
		"paths":       names.missingPaths,
		"identifiers": names.missingIdentifiers,
	}
	pages := readPages(g)
	for name, check := range checks {
		t.Run(name, func(t *testing.T) {
			missing := map[string][]string{}
			for file, page := range pages {
				if m := check(page); m != nil {
					missing[file] = m
				}
			}
			NewWithT(t).Expect(missing).To(BeEmpty())
		})
	}
}

// The checks must notice outdated names, or they would pass on any page.
func TestOutdatedNamesAreFound(t *testing.T) {
	names := readSource(NewWithT(t))
	cases := map[string]struct {
		check  func(string) []string
		page   string
		wanted []string
	}{
		"test":           {names.missingTests, "TestNoSuchCase, TestPagesNameWhatExists", []string{"TestNoSuchCase"}},
		"path":           {names.missingPaths, "see internal/core/none and `internal/core/call`.", []string{"internal/core/none"}},
		"path of area":   {names.missingPaths, "`core/none/a.go`, `core/call/call.go`", []string{"core/none/a.go"}},
		"wildcard":       {names.missingPaths, "go test ./internal/conf/... ./platform", nil},
		"address":        {names.missingPaths, "https://example.org/internal/none", nil},
		"identifier":     {names.missingIdentifiers, "`call.None(now, call.ID) []call.Gone`", []string{"call.None", "call.Gone"}},
		"method":         {names.missingIdentifiers, "`link.Pool.Gone`, `Pool.Control`", []string{"Pool.Gone"}},
		"type":           {names.missingIdentifiers, "`NoSuchType.Replace`, `ID.SECRET`", []string{"NoSuchType.Replace"}},
		"other packages": {names.missingIdentifiers, "`http.NoBody`, call.Prose", nil},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			NewWithT(t).Expect(c.check(c.page)).To(Equal(c.wanted))
		})
	}
}

func readPages(g Gomega) map[string]string {
	files := []string{"README.md"}
	g.Expect(filepath.WalkDir("docs", func(path string, _ fs.DirEntry, err error) error {
		if filepath.Ext(path) == ".md" {
			files = append(files, path)
		}
		return err
	})).To(Succeed())
	g.Expect(len(files)).To(BeNumerically(">", 1))
	pages := map[string]string{}
	for _, file := range files {
		text, err := os.ReadFile(file)
		g.Expect(err).NotTo(HaveOccurred())
		pages[file] = string(text)
	}
	return pages
}

func readSource(g Gomega) *sourceNames {
	n := &sourceNames{
		tests: map[string]bool{}, packages: map[string]map[string]bool{},
		members: map[string]map[string]bool{}, areas: map[string]bool{},
	}
	areas, err := os.ReadDir("internal")
	g.Expect(err).NotTo(HaveOccurred())
	for _, area := range areas {
		n.areas[area.Name()] = true
	}
	g.Expect(filepath.WalkDir(".", func(path string, entry fs.DirEntry, err error) error {
		if err == nil && entry.IsDir() && path != "." && strings.HasPrefix(entry.Name(), ".") {
			return filepath.SkipDir
		}
		if err != nil || filepath.Ext(path) != ".go" {
			return err
		}
		return n.addFile(path)
	})).To(Succeed())
	return n
}

func (n *sourceNames) addFile(path string) error {
	file, err := parser.ParseFile(token.NewFileSet(), path, nil, parser.SkipObjectResolution)
	if err != nil {
		return fmt.Errorf("parse %s: %w", path, err)
	}
	pkg := file.Name.Name
	for _, decl := range file.Decls {
		switch d := decl.(type) {
		case *ast.FuncDecl:
			n.addFunc(pkg, d)
		case *ast.GenDecl:
			for _, spec := range d.Specs {
				n.addSpec(pkg, spec)
			}
		}
	}
	return nil
}

func (n *sourceNames) addFunc(pkg string, f *ast.FuncDecl) {
	if f.Recv != nil {
		add(n.members, typeName(f.Recv.List[0].Type), f.Name.Name)
		return
	}
	add(n.packages, pkg, f.Name.Name)
	if testName.MatchString(f.Name.Name) {
		n.tests[f.Name.Name] = true
	}
}

func (n *sourceNames) addSpec(pkg string, spec ast.Spec) {
	switch s := spec.(type) {
	case *ast.ValueSpec:
		for _, name := range s.Names {
			add(n.packages, pkg, name.Name)
		}
	case *ast.TypeSpec:
		add(n.packages, pkg, s.Name.Name)
		n.addMembers(s)
	}
}

func (n *sourceNames) addMembers(s *ast.TypeSpec) {
	var fields *ast.FieldList
	switch t := s.Type.(type) {
	case *ast.StructType:
		fields = t.Fields
	case *ast.InterfaceType:
		fields = t.Methods
	default:
		return
	}
	for _, field := range fields.List {
		for _, name := range field.Names {
			add(n.members, s.Name.Name, name.Name)
		}
		if len(field.Names) == 0 {
			add(n.members, s.Name.Name, typeName(field.Type))
		}
	}
}

func (n *sourceNames) missingTests(page string) []string {
	var missing []string
	for _, name := range testName.FindAllString(page, -1) {
		if !n.tests[name] {
			missing = append(missing, name)
		}
	}
	return missing
}

func (n *sourceNames) missingPaths(page string) []string {
	var missing []string
	for _, match := range filePath.FindAllStringSubmatch(strings.ReplaceAll(page, "./", ""), -1) {
		path := strings.TrimSuffix(match[1], "/...")
		folder, _, _ := strings.Cut(path, "/")
		if topFolder[folder] && !exists(path) || n.areas[folder] && !exists(filepath.Join("internal", path)) {
			missing = append(missing, path)
		}
	}
	return missing
}

// missingIdentifiers checks package.Identifier, and Type.Member for types of the repository.
func (n *sourceNames) missingIdentifiers(page string) []string {
	var missing []string
	for _, span := range codeSpan.FindAllString(page, -1) {
		for _, match := range selector.FindAllStringSubmatch(span, -1) {
			missing = append(missing, n.missingIn(match[1], match[2], match[3])...)
		}
	}
	return missing
}

func (n *sourceNames) missingIn(owner, name, member string) []string {
	var missing []string
	if ast.IsExported(owner) {
		// A second part in capitals is a placeholder, such as SECRET of a token.
		if !n.members[owner][name] && name != strings.ToUpper(name) {
			missing = append(missing, owner+"."+name)
		}
		return missing
	}
	known, ours := n.packages[owner]
	if ours && !known[name] {
		missing = append(missing, owner+"."+name)
	}
	if ours && member != "" && !n.members[name][member] {
		missing = append(missing, name+"."+member)
	}
	return missing
}

func add(sets map[string]map[string]bool, owner, name string) {
	if sets[owner] == nil {
		sets[owner] = map[string]bool{}
	}
	sets[owner][name] = true
}

func typeName(expr ast.Expr) string {
	switch e := expr.(type) {
	case *ast.StarExpr:
		return typeName(e.X)
	case *ast.IndexExpr:
		return typeName(e.X)
	case *ast.SelectorExpr:
		return e.Sel.Name
	case *ast.Ident:
		return e.Name
	}
	return ""
}

func exists(path string) bool {
	_, err := os.Stat(path)
	return err == nil
}
