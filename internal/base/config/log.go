package config

import "net/url"

// Log holds the settings for the platform's log service.
type Log struct {
	// URL is the base URL of the service, such as http://10.0.0.1:8080.
	URL string `toml:"url"`
}

func (l *Log) validate(c *checker) {
	u, err := url.Parse(l.URL)
	ok := err == nil && (u.Scheme == "http" || u.Scheme == "https") && u.Host != ""
	c.require(ok, "log.url", l.URL, "an http or https URL")
}
