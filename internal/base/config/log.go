package config

import "net/url"

// Log says where the platform's log service is.
type Log struct {
	// URL is the base of the service, such as http://10.0.0.1:8080.
	URL string `toml:"url"`
}

func (l *Log) check(c *checker) {
	u, err := url.Parse(l.URL)
	ok := err == nil && (u.Scheme == "http" || u.Scheme == "https") && u.Host != ""
	c.want(ok, "log.url", l.URL, "an http or https URL")
}
