// Package config loads a daemon's settings from a TOML file and validates them.
package config

import (
	"fmt"
	"os"
	"strings"

	"github.com/BurntSushi/toml"
	"github.com/pkg/errors"
)

// Config holds all settings of a daemon, one field per table of the file.
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

// ValueError reports a setting whose value is not allowed.
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

// section is one table of the settings file.
type section interface {
	validate(*checker)
}

// checker collects the errors found in a settings file.
type checker struct {
	file   string
	errors []error
}

// require records a ValueError for key unless ok is true.
func (c *checker) require(ok bool, key string, value any, allowed string) {
	if ok {
		return
	}
	c.errors = append(c.errors, &ValueError{File: c.file, Key: key, Value: fmt.Sprintf("%#v", value), Allowed: allowed})
}

// Default returns the default settings. Settings without a default are empty.
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

// Load reads and validates the settings file at path. The error lists every
// invalid setting.
func Load(path string) (Config, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return Config{}, errors.Wrap(err, "read settings")
	}
	return Parse(path, string(data))
}

// Parse decodes and validates settings in TOML. The error lists every invalid
// setting; file is the file name used in it.
func Parse(file, text string) (Config, error) {
	c := Default()
	meta, err := toml.Decode(text, &c)
	if err != nil {
		return Config{}, errors.Wrap(err, file)
	}
	checker := &checker{file: file}
	for _, key := range meta.Undecoded() {
		checker.errors = append(checker.errors, errors.Errorf("%s: unknown key %s", file, key))
	}
	for _, s := range []section{&c.Node, &c.Listen, &c.Log, &c.Limits, &c.Stop, &c.Output, &c.Admin, &c.Moves} {
		s.validate(checker)
	}
	return c, checker.err()
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
