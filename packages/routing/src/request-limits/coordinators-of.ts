import {rankByRendezvous} from '@deckwheel/core';

type Host = {
	/** `ip:port` */
	readonly address: string;
	readonly hall: string;
};

/** Hosts that hand out permits for one endpoint: the first, and one for those that cannot reach it. */
const coordinatorCount = 2;

const rankAddresses = (endpoint: string, hosts: readonly Host[]): readonly string[] =>
	rankByRendezvous(`limit ${endpoint}`, [...new Set(hosts.map(({address}) => address))]);

/**
The addresses of the hosts that hand out permits for an endpoint with a limit, best first. Pure.

Hosts of the endpoint's own hall go first: who is cut off from them is mostly cut off from the endpoint too. Addresses outlive
processes, so a restart changes nothing.
*/
export const coordinatorsOf = ({id, hall}: {readonly id: string; readonly hall: string}, hosts: readonly Host[]): readonly string[] => {
	const sameHall = rankAddresses(id, hosts.filter(host => host.hall === hall));
	const otherHalls = sameHall.length < coordinatorCount ? rankAddresses(id, hosts.filter(host => host.hall !== hall)) : [];
	return [...sameHall, ...otherHalls].slice(0, coordinatorCount);
};
