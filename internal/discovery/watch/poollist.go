package watch

import (
	"rowancart/internal/platform"
	"rowancart/internal/proxy"
)

// ProxyEndpointList converts a valid message to the type with which proxy.Pool is updated.
func ProxyEndpointList(message platform.EndpointList) proxy.EndpointList {
	list := proxy.EndpointList{Complete: message.Complete}
	for _, e := range message.Endpoints {
		state, _ := e.State.EndpointState() // the state is known, because the message is valid
		list.Endpoints = append(list.Endpoints, proxy.Endpoint{
			ID:        e.ID,
			Addr:      e.Addr,
			Zone:      e.Zone,
			Kind:      e.Kind,
			Cell:      e.Cell,
			State:     state,
			StartedMs: e.StartedMs,
		})
	}
	return list
}
