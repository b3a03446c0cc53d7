// Command genproto compiles the .proto files of a directory, runs protoc-gen-go
// on the result and writes the generated files beside them. The build needs no
// protoc binary.
package main

import (
	"bytes"
	"context"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"

	"github.com/bufbuild/protocompile"
	"github.com/bufbuild/protocompile/protoutil"
	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/types/descriptorpb"
	"google.golang.org/protobuf/types/pluginpb"
)

func main() {
	if len(os.Args) != 3 {
		fmt.Fprintln(os.Stderr, "usage: genproto PLUGIN DIR")
		os.Exit(2)
	}
	if err := generate(os.Args[1], os.Args[2]); err != nil {
		fmt.Fprintln(os.Stderr, "genproto:", err)
		os.Exit(1)
	}
}

func generate(plugin, dir string) error {
	req, err := compile(dir)
	if err != nil {
		return err
	}
	in, err := proto.Marshal(req)
	if err != nil {
		return fmt.Errorf("encode request: %w", err)
	}
	cmd := exec.Command(plugin)
	cmd.Stdin = bytes.NewReader(in)
	cmd.Stderr = os.Stderr
	out, err := cmd.Output()
	if err != nil {
		return fmt.Errorf("run %s: %w", plugin, err)
	}
	return writeFiles(dir, out)
}

func compile(dir string) (*pluginpb.CodeGeneratorRequest, error) {
	paths, err := filepath.Glob(filepath.Join(dir, "*.proto"))
	if err != nil {
		return nil, fmt.Errorf("list %s: %w", dir, err)
	}
	names := make([]string, 0, len(paths))
	for _, p := range paths {
		names = append(names, filepath.Base(p))
	}
	comp := protocompile.Compiler{
		Resolver:       &protocompile.SourceResolver{ImportPaths: []string{dir}},
		SourceInfoMode: protocompile.SourceInfoStandard,
	}
	files, err := comp.Compile(context.Background(), names...)
	if err != nil {
		return nil, fmt.Errorf("compile %s: %w", dir, err)
	}
	req := &pluginpb.CodeGeneratorRequest{
		FileToGenerate: names,
		Parameter:      proto.String("paths=source_relative"),
	}
	for _, f := range files {
		var d *descriptorpb.FileDescriptorProto = protoutil.ProtoFromFileDescriptor(f)
		req.ProtoFile = append(req.ProtoFile, d)
	}
	return req, nil
}

func writeFiles(dir string, out []byte) error {
	var resp pluginpb.CodeGeneratorResponse
	if err := proto.Unmarshal(out, &resp); err != nil {
		return fmt.Errorf("decode response: %w", err)
	}
	if resp.Error != nil {
		return fmt.Errorf("plugin: %s", resp.GetError())
	}
	for _, f := range resp.File {
		path := filepath.Join(dir, f.GetName())
		if err := os.WriteFile(path, []byte(f.GetContent()), 0o644); err != nil {
			return fmt.Errorf("write %s: %w", path, err)
		}
	}
	return nil
}
