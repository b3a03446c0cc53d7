// Package config reads the settings of a process from a TOML file.
package config

import (
	"fmt"
	"os"
	"strings"

	"github.com/BurntSushi/toml"
	"github.com/pkg/errors"
)

// Config holds all settings of a daemon.
type Config struct {
	Node   Node   `toml:"node"`
	Listen Listen `toml:"listen"`
	Log    Log    `toml:"log"`
	Limits Limits `toml:"limits"`
	Stop   Stop   `toml:"stop"`
	Output Output `toml:"output"`
	Admin  Admin  `toml:"admin"`
	Moves  Moves  `toml:"moves"`
}

// ValueError says which setting is wrong and what is allowed.
type ValueError struct {
	File    string
	Key     string
	Value   string
	Allowed string
}

// Error implements error.
func (e *ValueError) Error() string {
	return fmt.Sprintf("%s: %s is %s, allowed is %s", e.File, e.Key, e.Value, e.Allowed)
}

// section is one table of the file.
type section interface {
	check(*checker)
}

// checker collects the wrong settings of a file.
type checker struct {
	file   string
	errors []error
}

// want records an error if ok does not hold.
func (c *checker) want(ok bool, key string, value any, allowed string) {
	if ok {
		return
	}
	c.errors = append(c.errors, &ValueError{File: c.file, Key: key, Value: fmt.Sprintf("%#v", value), Allowed: allowed})
}

// Default returns the settings before a file is read.
func Default() Config {
	return Config{
		Node:   defaultNode(),
		Listen: Listen{},
		Log:    Log{},
		Limits: defaultLimits(),
		Stop:   defaultStop(),
		Output: defaultOutput(),
		Moves:  defaultMoves(),
	}
}

// Load reads and checks the file at path. The error names every wrong setting.
func Load(path string) (Config, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return Config{}, errors.Wrap(err, "read settings")
	}
	return Parse(path, string(data))
}

// Parse reads and checks settings; file is the name used in errors.
func Parse(file, text string) (Config, error) {
	c := Default()
	meta, err := toml.Decode(text, &c)
	if err != nil {
		return Config{}, errors.Wrap(err, file)
	}
	ck := &checker{file: file}
	for _, key := range meta.Undecoded() {
		ck.errors = append(ck.errors, errors.Errorf("%s: unknown key %s", file, key))
	}
	for _, s := range []section{&c.Node, &c.Listen, &c.Log, &c.Limits, &c.Stop, &c.Output, &c.Admin, &c.Moves} {
		s.check(ck)
	}
	return c, ck.err()
}

func (c *checker) err() error {
	if len(c.errors) == 0 {
		return nil
	}
	lines := make([]string, len(c.errors))
	for i, e := range c.errors {
		lines[i] = e.Error()
	}
	return errors.New(strings.Join(lines, "\n"))
}
