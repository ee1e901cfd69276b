package main

import (
	"context"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

func TestTheExampleShowsAChangeOfPrimary(t *testing.T) {
	var text strings.Builder
	assert.NilError(t, run(context.Background(), &text))
	assert.Assert(t, strings.Contains(text.String(), "read through proxy-1: [Biscuit]"), text.String())
	assert.Assert(t, strings.Contains(text.String(), "The earlier write is still there: [Biscuit]"), text.String())
}
