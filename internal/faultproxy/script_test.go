package faultproxy

import (
	"testing"
	"time"
)

func TestScriptReturnsTheFaultInForce(t *testing.T) {
	s := Script{
		{At: time.Second, For: 2 * time.Second, Fault: Fault{Partition: true}},
		{At: 2 * time.Second, Fault: Fault{Loss: 0.3}},
	}
	for _, test := range []struct {
		at   time.Duration
		want Fault
	}{
		{0, Fault{}},
		{time.Second, Fault{Partition: true}},
		{2 * time.Second, Fault{Loss: 0.3}},
		{time.Hour, Fault{Loss: 0.3}},
	} {
		if got := s.At(test.at); got != test.want {
			t.Errorf("fault at %v: %+v, want %+v", test.at, got, test.want)
		}
	}
	if next, ok := s.Next(1500 * time.Millisecond); !ok || next != 2*time.Second {
		t.Errorf("next change after 1.5 s: %v, %v, want 2s, true", next, ok)
	}
	if next, ok := s.Next(time.Hour); ok {
		t.Errorf("next change after the last step: %v, want none", next)
	}
}

func TestScriptCheckRejectsInvalidSteps(t *testing.T) {
	for name, step := range map[string]Step{
		"loss above 1":             {Fault: Fault{Loss: 2}},
		"start before the relay's": {At: -1},
		"negative duration":        {For: -1},
		"negative delay":           {Fault: Fault{Delay: -1}},
		"unknown direction":        {Fault: Fault{Direction: FromTarget + 1}},
	} {
		if err := (Script{{}, step}).Check(); err == nil {
			t.Errorf("%s: Check accepted the step", name)
		}
	}
	if err := (Script{{}, {Fault: Fault{Loss: 1, Direction: FromTarget}}}).Check(); err != nil {
		t.Error(err)
	}
}
