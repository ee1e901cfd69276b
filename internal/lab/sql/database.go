package sql

import (
	"slices"
	"sort"
)

// Row holds one value a column: nil, an int64 or a string. It is never
// changed once it is in a table.
type Row []any

// Database is a set of tables. It is not safe for concurrent use: its member
// guards it.
type Database struct {
	tables map[string]*table
}

// table is a table whose first column is its key.
type table struct {
	columns []Column
	rows    map[any]Row
	// keys holds the keys in order of insertion.
	keys []any
	// lastSerial is the last number that was assigned.
	lastSerial int64
}

// Change is one replicated change: a row before and after, or a new table.
type Change struct {
	Table   string
	Columns []Column
	Key     any
	Before  Row
	After   Row
}

// NewDatabase returns a database without tables.
func NewDatabase() *Database { return &Database{tables: map[string]*table{}} }

// Apply makes the changes, in order.
func (d *Database) Apply(changes []Change) {
	for _, c := range changes {
		if c.Columns != nil {
			d.tables[c.Table] = newTable(c.Columns)
			continue
		}
		d.tables[c.Table].put(c.Key, c.After)
	}
}

// Undo takes the changes back, the last first.
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

// put sets a row, or removes it when the row is nil.
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

// column returns the index of a column.
func (t *table) column(name string) (int, error) {
	for i, c := range t.columns {
		if c.Name == name {
			return i, nil
		}
	}
	return 0, NewError(CodeNoColumn, "column \""+name+"\" does not exist")
}

// sortRows sorts rows by one column.
func sortRows(rows []Row, column int) {
	sort.SliceStable(rows, func(a, b int) bool { return less(rows[a][column], rows[b][column]) })
}

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
