package watch

import (
	"rowancart/internal/platform"
	"rowancart/internal/proxy"
)

// ProxyEndpointList returns a valid message in the form that a pool is updated with.
func ProxyEndpointList(message platform.EndpointList) proxy.EndpointList {
	list := proxy.EndpointList{Complete: message.Complete}
	for _, e := range message.Endpoints {
		state, _ := e.State.EndpointState() // known: the message is valid
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
