// Package knownred tests .ci/known-red, the script that runs the test command without the tests
// that are listed as known to fail.
package knownred
