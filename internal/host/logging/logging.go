// Package logging sets up the structured log: one JSON object a line, with
// Pascal case names, through klog. Passwords, keys and rows are never logged.
package logging

import (
	"flag"
	"io"
	"log/slog"
	"strconv"
	"strings"

	"github.com/pkg/errors"
	"k8s.io/klog/v2"
)

// Start sends all log lines to w. Level 0 is for operators; higher levels say
// more.
func Start(w io.Writer, level int) error {
	handler := slog.NewJSONHandler(w, &slog.HandlerOptions{
		Level:       slog.Level(-level),
		ReplaceAttr: rename,
	})
	klog.SetSlogLogger(slog.New(handler))
	flags := flag.NewFlagSet("klog", flag.ContinueOnError)
	klog.InitFlags(flags)
	return errors.WithStack(flags.Set("v", strconv.Itoa(level)))
}

// rename gives the library's names Pascal case.
func rename(_ []string, a slog.Attr) slog.Attr {
	if a.Key == "msg" {
		a.Key = "Message"
		return a
	}
	if a.Key != "" {
		a.Key = strings.ToUpper(a.Key[:1]) + a.Key[1:]
	}
	return a
}
