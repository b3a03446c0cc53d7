package config

import "github.com/rs/zerolog"

// Output holds the settings of the daemon's own log.
type Output struct {
	Level string `toml:"level"`
}

func defaultOutput() Output {
	return Output{Level: zerolog.InfoLevel.String()}
}

func (o *Output) validate(c *checker) {
	_, err := zerolog.ParseLevel(o.Level)
	c.require(err == nil && o.Level != "", "output.level", o.Level, "debug, info, warn or error")
}

// ZerologLevel returns the minimum level to log, or info if Level is invalid.
func (o *Output) ZerologLevel() zerolog.Level {
	l, err := zerolog.ParseLevel(o.Level)
	if err != nil {
		return zerolog.InfoLevel
	}
	return l
}
