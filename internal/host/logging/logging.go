// Package logging sets up structured logging through klog: one JSON object per
// line, with keys in Pascal case. Passwords, keys and rows are never logged.
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

// Start configures klog to write all log lines to w. Level 0 logs what
// operators need; each level up to 4 adds detail.
func Start(w io.Writer, level int) error {
	handler := slog.NewJSONHandler(w, &slog.HandlerOptions{
		Level:       slog.Level(-level),
		ReplaceAttr: renameKey,
	})
	klog.SetSlogLogger(slog.New(handler))
	flags := flag.NewFlagSet("klog", flag.ContinueOnError)
	klog.InitFlags(flags)
	return errors.WithStack(flags.Set("v", strconv.Itoa(level)))
}

// renameKey changes the keys that slog sets itself to Pascal case.
func renameKey(_ []string, a slog.Attr) slog.Attr {
	if a.Key == "msg" {
		a.Key = "Message"
		return a
	}
	if a.Key != "" {
		a.Key = strings.ToUpper(a.Key[:1]) + a.Key[1:]
	}
	return a
}
