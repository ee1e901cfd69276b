package configuration

import "strconv"

// elementPath returns the path of the value at an index of an array.
func elementPath(path string, index int) string { return path + "/" + strconv.Itoa(index) }
