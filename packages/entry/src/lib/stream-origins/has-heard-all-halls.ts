import {groupBy} from '@deckwheel/core';
import type {ListedPeer} from '../../adapter/listed-peer.js';

/** The number of asked hosts of a hall that need not reply: one may be down, or restart. */
const absentPerHall = 1;

/**
Tells whether enough of the asked hosts replied that all versions are known. Pure.

A stream is told to hosts of each hall before its first event, its own included, so a hall whose hosts replied has no version that they do
not know of. Of a hall that did not reply nothing is known: it may be cut off, with its endpoints and its callers.

@param witnesses The addresses of the hosts that replied, and whose own list of endpoints was confirmed recently.
*/
export const hasHeardAllHalls = (asked: readonly ListedPeer[], witnesses: ReadonlySet<string>): boolean =>
	[...groupBy(asked, ({hall}) => hall).values()].every(hosts =>
		hosts.filter(({address}) => witnesses.has(address)).length >= Math.max(1, hosts.length - absentPerHall));
