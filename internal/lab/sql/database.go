package sql

import (
	"slices"
	"sort"
)

// Row holds one value for each column: nil, an int64 or a string. A row in a table is
// immutable.
type Row []any

// Database is a set of tables. It is not safe for concurrent use; the mutex of the
// member that owns it guards it.
type Database struct {
	tables map[string]*table
}

// table is one table of a Database. Its first column is its key.
type table struct {
	columns []Column
	// rows is keyed by the value of the first column.
	rows map[any]Row
	// keys holds the keys in order of insertion.
	keys []any
	// lastSerial is the highest integer that was used as a key or assigned to a serial
	// column; the next serial value is one more.
	lastSerial int64
}

// Change is one replicated change: the creation of a table if Columns is set, otherwise
// the change of a row. It is immutable.
type Change struct {
	Table   string
	Columns []Column
	Key     any
	// Before and After are the row before and after the change; nil for no row.
	Before Row
	After  Row
}

// NewDatabase returns a database without tables.
func NewDatabase() *Database { return &Database{tables: map[string]*table{}} }

// Apply applies the changes in order.
func (d *Database) Apply(changes []Change) {
	for _, c := range changes {
		if c.Columns != nil {
			d.tables[c.Table] = newTable(c.Columns)
			continue
		}
		d.tables[c.Table].put(c.Key, c.After)
	}
}

// Undo reverts the changes, the last one first.
func (d *Database) Undo(changes []Change) {
	for i := len(changes) - 1; i >= 0; i-- {
		c := changes[i]
		if c.Columns != nil {
			delete(d.tables, c.Table)
			continue
		}
		d.tables[c.Table].put(c.Key, c.Before)
	}
}

func newTable(columns []Column) *table {
	return &table{columns: columns, rows: map[any]Row{}}
}

// put sets the row of a key, or removes it if r is nil.
func (t *table) put(key any, r Row) {
	if r == nil {
		delete(t.rows, key)
		if i := slices.Index(t.keys, key); i >= 0 {
			t.keys = slices.Delete(t.keys, i, i+1)
		}
		return
	}
	if _, ok := t.rows[key]; !ok {
		t.keys = append(t.keys, key)
	}
	t.rows[key] = r
	if n, ok := key.(int64); ok && n > t.lastSerial {
		t.lastSerial = n
	}
}

// column returns the index of the column called name. It fails if there is none.
func (t *table) column(name string) (int, error) {
	for i, c := range t.columns {
		if c.Name == name {
			return i, nil
		}
	}
	return 0, NewError(CodeNoColumn, "column \""+name+"\" does not exist")
}

// sortRows sorts rows by their values at the index column, nulls first.
func sortRows(rows []Row, column int) {
	sort.SliceStable(rows, func(a, b int) bool { return less(rows[a][column], rows[b][column]) })
}

// less reports whether a sorts before b. Nil sorts before any other value; an integer and
// a string are not ordered.
func less(a, b any) bool {
	switch x := a.(type) {
	case int64:
		y, ok := b.(int64)
		return ok && x < y
	case string:
		y, ok := b.(string)
		return ok && x < y
	default:
		return a == nil && b != nil
	}
}
