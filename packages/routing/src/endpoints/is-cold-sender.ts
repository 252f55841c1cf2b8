import {rankByRendezvous} from '@deckwheel/core';

/**
The number of running hosts that one host's list of hosts may lack. Each host that a list lacks may let one more host than
intended take itself for a sender.
*/
const maxMissingHosts = 10;

type Options = {
	/** The name of this host. Names of hosts stay the same when their processes restart. */
	readonly host: string;
	/** The names of all hosts that this host knows of, with its own. */
	readonly hosts: readonly string[];
	/** Requests a second that all hosts together may send to one cold endpoint. */
	readonly perSecond: number;
};

/**
Decides whether a host may send requests to an endpoint while the endpoint is cold. Pure.

Hosts cannot coordinate while they are cut off from each other. So a few fixed hosts, chosen by rendezvous hashing, are the
senders for each cold endpoint, and each sender sends at most one request per `coldRequestIntervalMs`. A host ranks itself too high
by at most the number of hosts that its list lacks. So where each list lacks at most `maxMissingHosts`, no more than `perSecond`
hosts take themselves for senders. Listed hosts that have shut down only reduce the number of senders.
*/
export const isColdSender = (endpoint: string, {host, hosts, perSecond}: Options): boolean => {
	const senderCount = Math.floor(perSecond) - maxMissingHosts;
	return senderCount > 0 && rankByRendezvous(`cold ${endpoint}`, hosts).slice(0, senderCount).includes(host);
};
