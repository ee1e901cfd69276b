package configuration

import "strconv"

// place returns the path of the value at an index of an array.
func place(path string, index int) string { return path + "/" + strconv.Itoa(index) }
