// Package defaults fills in options that were left out.
package defaults

// Set gives a field a value if it has the zero value of its type.
func Set[T comparable](field *T, value T) {
	var zero T
	if *field == zero {
		*field = value
	}
}
