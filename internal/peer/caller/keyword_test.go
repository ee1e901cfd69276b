package caller

import (
	"testing"

	"gotest.tools/v3/assert"
)

// TestRollbackToASavepointEndsNoTransaction guards against a failed transaction that counts
// as ended when its client returns to a savepoint.
func TestRollbackToASavepointEndsNoTransaction(t *testing.T) {
	for text, ends := range map[string]bool{
		"COMMIT": true, "end": true, "ABORT;": true, "rollback": true, "ROLLBACK WORK": true, " ;ROLLBACK TRANSACTION ;": true,
		"ROLLBACK AND CHAIN": true, "ROLLBACK TO a": false, "rollback work to savepoint a": false,
		"ROLLBACK TRANSACTION\nTO a": false, "SELECT 1": false, "": false,
	} {
		assert.Equal(t, endsTransaction(text), ends, "%q", text)
	}
}
