package platform

import "encoding/json"

// WriteOnly is a field that the platform sends and that no sidecar uses. Stand-ins for the platform
// write its value; decoding skips whatever JSON value stands there, as for an unknown field.
type WriteOnly[T any] struct{ Value T }

// MarshalJSON implements json.Marshaler.
func (w WriteOnly[T]) MarshalJSON() ([]byte, error) { return json.Marshal(w.Value) }

// UnmarshalJSON implements json.Unmarshaler and leaves the value as it is.
func (*WriteOnly[T]) UnmarshalJSON([]byte) error { return nil }
