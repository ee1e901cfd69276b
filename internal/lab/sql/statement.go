package sql

// Verb is the kind of a statement.
type Verb int

// The kinds of statements. Empty is the kind of a text without a statement, Call that of
// SELECT of a function or a constant, and Reset that of RESET, DISCARD and DEALLOCATE.
const (
	Empty Verb = iota
	Create
	Insert
	Select
	Call
	Update
	Delete
	Begin
	Commit
	Rollback
	Set
	Show
	Reset
)

// Statement is a parsed statement. It is immutable.
type Statement struct {
	Verb Verb
	// Table names the table, the function of a Call (empty for a constant), the setting of
	// a Set or Show, or the words of a Reset.
	Table string
	// Temporary is true if the new table is visible only on this connection.
	Temporary bool
	// IfNotExists is true if creating a table that exists already is no error.
	IfNotExists bool
	// ReadOnly is true for BEGIN of a read-only transaction.
	ReadOnly bool
	// Columns has the columns of a new table.
	Columns []Column
	// Names has the names of the columns that an Insert or Update writes or a Select
	// returns; "*" for all columns, "count(*)" for the number of rows.
	Names []string
	// Values has the rows of an Insert, with one expression for each of Names.
	Values [][]expression
	// Assignments has the new values of an Update, one for each of Names.
	Assignments []assignment
	// Where has the conditions, all of which must hold.
	Where []condition
	// OrderBy names the column to sort by; empty for the order of insertion.
	OrderBy string
	// Limit is the maximum number of rows of a Select; negative for no limit.
	Limit int
	// Returning has the names of the columns that an Insert or Update returns.
	Returning []string
	// Arguments are those of a Call, or the value of a Set.
	Arguments []expression
	// Parameters is the highest number of a parameter in the text up to the end of the
	// statement.
	Parameters int
}

// Column is a column of a table.
type Column struct {
	Name string
	// Text is true for text and false for integers.
	Text bool
	// Serial is true if the database assigns a number where none is given.
	Serial bool
}

// expression is a constant or a parameter.
type expression struct {
	// parameter is the number of the parameter, from 1; zero for a constant.
	parameter int
	// constant is nil, an int64, a float64 or a string.
	constant any
}

// assignment is the new value that an Update gives to a column.
type assignment struct {
	expression
	// addsToOld is true if the expression is added to the old value.
	addsToOld bool
}

// condition is the condition that a column equals a value.
type condition struct {
	column string
	value  expression
}

// Writes reports whether a read-only transaction must refuse the statement. That includes
// an Insert, Update or Delete on a temporary table.
func (s Statement) Writes() bool {
	switch s.Verb {
	case Create:
		return !s.Temporary
	case Insert, Update, Delete:
		return true
	default:
		return false
	}
}
