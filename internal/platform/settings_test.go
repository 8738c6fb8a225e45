package platform

import (
	"strings"
	"testing"
)

func TestParseSettingsNamesTheInvalidField(t *testing.T) {
	for text, field := range map[string]string{
		`{"NInstances":-1}`:                                                       "NInstances",
		`{"Rules":{"ColdUs":-5}}`:                                                 "Rules.ColdUs",
		`{"Rules":{"ColdFrom":"half"}}`:                                           "Rules.ColdFrom",
		`{"Permissions":{"ConnIdleUs":-1}}`:                                       "Permissions.ConnIdleUs",
		`{"Accounts":[{"Name":"erie","QuotaPerS":-2}]}`:                           `"erie"`,
		`{"Lanes":[{"Name":"look","Semantics":"read_like","OnTimeUs":-2500000}]}`: `"look"`,
	} {
		_, err := ParseSettings([]byte(text))
		if err == nil || !strings.Contains(err.Error(), field) || strings.Contains(err.Error(), "\n") {
			t.Errorf("%s: %v, want one line that names %s", text, err, field)
		}
	}
}
