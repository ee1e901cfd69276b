package configuration

import "strconv"

// elementPath returns the path of the element with the index in the array at path, in the
// syntax of a JSON Pointer.
func elementPath(path string, index int) string { return path + "/" + strconv.Itoa(index) }
