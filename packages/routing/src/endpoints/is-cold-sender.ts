import {rankByRendezvous} from '@deckwheel/core';

/**
Hosts that may be up and missing in a host's list of hosts. Each may take itself for a sender beside those that the others know of.
*/
const maxMissingHosts = 10;

type Options = {
	/** This host, and all that it knows of, by a name that outlives their processes. */
	readonly host: string;
	readonly hosts: readonly string[];
	/** Requests that all hosts together may send to one cold endpoint within a second. */
	readonly perSecond: number;
};

/**
Decides whether a host may send to an endpoint while it is cold. Pure.

Hosts cannot ask each other while they are cut off, so each endpoint has a fixed few of them, by rendezvous, and each of these
sends one request within `coldSpacingMs`. A host ranks itself too high by at most the hosts that its list lacks; so where every
list lacks `missingHosts` at most, no more than `perSecond` hosts take themselves for senders. Hosts of a list that ended only make
the senders fewer.
*/
export const isColdSender = (endpoint: string, {host, hosts, perSecond}: Options): boolean => {
	const senderCount = Math.floor(perSecond) - maxMissingHosts;
	return senderCount > 0 && rankByRendezvous(`cold ${endpoint}`, hosts).slice(0, senderCount).includes(host);
};
