package revision_test

import (
	"math"
	"strconv"
	"testing"

	"gotest.tools/v3/assert"

	"eelgrassladder.example/eelgrassladder/internal/model/revision"
)

// TestRevisionsOrderByEraFirst guards against a revision that the store gives out again after it
// came back from a copy, and that is taken for an older or an equal one.
func TestRevisionsOrderByEraFirst(t *testing.T) {
	last, err := revision.New(1, 1<<40-1)
	assert.NilError(t, err)
	next, err := revision.New(2, 1)
	assert.NilError(t, err)
	assert.Assert(t, last < next)
	assert.Assert(t, last.Token() <= next.Token())
	assert.Equal(t, next.Era(), uint64(2))
	assert.Equal(t, next.Number(), uint64(1))
	assert.Equal(t, revision.TokenEra(next.Token()), uint64(2))
}

// TestRevisionsOfAStoreWithoutErasAreItsNumbers guards against stored values that other builds
// read differently.
func TestRevisionsOfAStoreWithoutErasAreItsNumbers(t *testing.T) {
	r, err := revision.New(0, 41)
	assert.NilError(t, err)
	assert.Equal(t, uint64(r), uint64(41))
	assert.Equal(t, r.Token(), uint64(42))
}

// TestTokensFitASignedInteger guards against a platform that reads a token as a negative number.
func TestTokensFitASignedInteger(t *testing.T) {
	r, err := revision.New(revision.MaxEra, 1<<40-2)
	assert.NilError(t, err)
	assert.Assert(t, r.Token() <= math.MaxInt64)
	_, err = strconv.ParseInt(strconv.FormatUint(r.Token(), 10), 10, 64)
	assert.NilError(t, err)
}

func TestNumbersThatDoNotFitAreRefused(t *testing.T) {
	_, err := revision.New(revision.MaxEra+1, 1)
	assert.ErrorContains(t, err, "era")
	_, err = revision.New(1, 1<<40)
	assert.ErrorContains(t, err, "revision")
}
