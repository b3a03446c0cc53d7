// Command stand-log runs a fake of the platform's log service.
package main

import (
	"net/http"
	"os"
	"time"

	"github.com/jessevdk/go-flags"
	"github.com/rs/zerolog"

	"gitlab.com/cranberrytack/cranberrytack/internal/base/logs"
	"gitlab.com/cranberrytack/cranberrytack/internal/fakes/logsrv"
)

type options struct {
	Listen string `long:"listen" default:"127.0.0.1:7400" description:"address of the service"`
}

const headerTimeout = 5 * time.Second

func main() {
	var o options
	if _, err := flags.Parse(&o); err != nil {
		os.Exit(2)
	}
	l := logs.New(os.Stderr, zerolog.InfoLevel)
	s := &http.Server{Addr: o.Listen, Handler: logsrv.New().Handler(), ReadHeaderTimeout: headerTimeout}
	l.Info().Str("listen", o.Listen).Msg("log_service_started")
	if err := s.ListenAndServe(); err != nil {
		l.Error().Err(err).Msg("log_service_failed")
		os.Exit(1)
	}
}
