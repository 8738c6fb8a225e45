package platform

import "encoding/json"

// WriteOnly is the type of a field that the platform sends and no sidecar uses. The fake platforms
// of tests and experiments encode its value; decoding ignores any JSON value, as it does for an
// unknown field.
type WriteOnly[T any] struct{ Value T }

// MarshalJSON implements json.Marshaler.
func (w WriteOnly[T]) MarshalJSON() ([]byte, error) { return json.Marshal(w.Value) }

// UnmarshalJSON implements json.Unmarshaler and leaves the value as it is.
func (*WriteOnly[T]) UnmarshalJSON([]byte) error { return nil }
