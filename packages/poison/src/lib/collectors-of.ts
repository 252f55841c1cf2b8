import {pickInEachHall} from '@deckwheel/core';
import type {Peer} from '../peer.js';

/** The number of hosts in each hall that collect the crashes of one subject: two, since one may be down or cut off. */
const collectorsPerHall = 2;

/**
Returns the hosts that collect what is known of one subject. They are the same whichever host observed a crash, so its crashes
add up without every host having to tell every other. Every hall has its own collectors, since halls may be cut off from each other.
Pure.

@param subject The fingerprint of a request, or a part of prompts.
*/
export const collectorsOf = (subject: string, hosts: readonly Peer[]): readonly Peer[] => pickInEachHall(subject, hosts, collectorsPerHall);
