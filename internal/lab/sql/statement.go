package sql

// Verb is what a statement does.
type Verb int

// The verbs that the engine knows.
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
	// Verb says what the statement does.
	Verb Verb
	// Table names the table, or the function of a Call, or the setting.
	Table string
	// Temporary is true for a table of the connection alone.
	Temporary bool
	// IfNotExists is true for a table that may exist already.
	IfNotExists bool
	// ReadOnly is true for a transaction that only reads.
	ReadOnly bool
	// Columns lists the columns of a new table.
	Columns []Column
	// Names lists the columns that the statement writes or returns; "*" for
	// all, "count(*)" for the number of rows.
	Names []string
	// Values holds the rows of an Insert, one expression a column.
	Values [][]expression
	// Changes holds the new values of an Update, one for each of Names.
	Changes []change
	// Where lists conditions that must all hold.
	Where []condition
	// Order names the column to sort by; empty for the order of insertion.
	Order string
	// Limit is the most rows to return; negative for no limit.
	Limit int
	// Returning lists the columns that a write returns.
	Returning []string
	// Arguments are those of a Call, or the value of a Set.
	Arguments []expression
	// Parameters is the number of the highest parameter.
	Parameters int
}

// Column is a column of a table.
type Column struct {
	Name string
	// Text is true for text and false for whole numbers.
	Text bool
	// Serial is true for a number that the database assigns.
	Serial bool
}

// expression is a constant or a parameter.
type expression struct {
	// parameter counts from one; zero for a constant.
	parameter int
	// constant is nil, an int64, a float64 or a string.
	constant any
}

// change is a new value of a column.
type change struct {
	expression
	// addsToOld is true when the value is added to the column.
	addsToOld bool
}

// condition asks that a column equals a value.
type condition struct {
	column string
	value  expression
}

// Writes reports whether the statement changes tables that are replicated.
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
