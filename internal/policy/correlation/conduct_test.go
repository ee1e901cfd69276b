package correlation_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"eelgrassladder.example/eelgrassladder/internal/policy/correlation"
)

func TestAnEndpointIsTrustedAfterManyAnswersWithoutACopy(t *testing.T) {
	start := time.Now()
	long, short := start.Add(time.Minute), start.Add(time.Second)
	assert.Assert(t, !correlation.Conduct{Answers: 1000, Since: start}.Trusted(short))
	assert.Assert(t, !correlation.Conduct{Answers: 100, Since: start}.Trusted(long))
	assert.Assert(t, correlation.Conduct{Answers: 1000, Since: start}.Trusted(long))
	assert.Assert(t, !correlation.Conduct{Answers: 1000, Since: start, RepeatedAt: short}.Trusted(long))
	assert.Assert(t, correlation.Conduct{Answers: 1000, Since: start, RepeatedAt: short}.Trusted(start.Add(time.Hour)))
}
