// Package defaults sets default values of options that were left out.
package defaults

// Set assigns value to a field that has the zero value of its type.
func Set[T comparable](field *T, value T) {
	var zero T
	if *field == zero {
		*field = value
	}
}
