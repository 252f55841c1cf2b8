import {rankByRendezvous} from '@deckwheel/core';

type Host = {
	/** `ip:port` */
	readonly address: string;
	readonly hall: string;
};

/** The number of hosts that hand out permits for one endpoint: the first coordinator, and a second one for hosts that cannot reach the first. */
const coordinatorCount = 2;

const rankAddresses = (endpoint: string, hosts: readonly Host[]): readonly string[] =>
	rankByRendezvous(`limit ${endpoint}`, [...new Set(hosts.map(({address}) => address))]);

/**
Returns the addresses of the hosts that hand out permits for an endpoint with a limit on requests, best first. Pure.

Hosts of the endpoint's own hall are preferred, because a host that cannot reach these mostly cannot reach the endpoint either. Hosts are
ranked by address, which stays the same when a host's process restarts, so a restart changes no coordinator.
*/
export const coordinatorsOf = ({id, hall}: {readonly id: string; readonly hall: string}, hosts: readonly Host[]): readonly string[] => {
	const sameHall = rankAddresses(id, hosts.filter(host => host.hall === hall));
	const otherHalls = sameHall.length < coordinatorCount ? rankAddresses(id, hosts.filter(host => host.hall !== hall)) : [];
	return [...sameHall, ...otherHalls].slice(0, coordinatorCount);
};
