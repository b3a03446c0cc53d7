package config

import "github.com/rs/zerolog"

// Output says what the daemon logs.
type Output struct {
	Level string `toml:"level"`
}

func defaultOutput() Output {
	return Output{Level: zerolog.InfoLevel.String()}
}

func (o *Output) check(c *checker) {
	_, err := zerolog.ParseLevel(o.Level)
	c.want(err == nil && o.Level != "", "output.level", o.Level, "debug, info, warn or error")
}

// ZerologLevel returns the level in the form of the library.
func (o *Output) ZerologLevel() zerolog.Level {
	l, err := zerolog.ParseLevel(o.Level)
	if err != nil {
		return zerolog.InfoLevel
	}
	return l
}
