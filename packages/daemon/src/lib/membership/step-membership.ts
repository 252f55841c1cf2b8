import type {KnownHost} from './known-host.js';
import type {MembershipEvent} from './membership-event.js';
import type {Membership} from './membership.js';

/** A pause between two steps longer than this means that the process was frozen, in ms. */
const frozenAfterMs = 1500;

/** A host that was never or not lately heard of, and is on no list, is dropped after this time, in ms. */
const dropAfterMs = 600_000;

// A process that was frozen heard nothing. It must not conclude that everyone else is gone.
const forgiveSilence = (membership: Membership, now: number): Membership => {
	if (now - membership.steppedAt < frozenAfterMs) {
		return {...membership, steppedAt: now};
	}

	const hosts = [...membership.hosts].map(([name, known]) => [name, {...known, heardAt: now}] as const);
	return {hosts: new Map(hosts), steppedAt: now};
};

const withHost = (membership: Membership, known: KnownHost): Membership =>
	({...membership, hosts: new Map(membership.hosts).set(known.host, known)});

const learn = (membership: Membership, entry: {readonly host: string; readonly hall: string; readonly address: string}, now: number): Membership => {
	const known = membership.hosts.get(entry.host);
	// What a host says of itself counts more than what others say.
	const address = known?.status?.address ?? entry.address;
	return withHost(membership, {
		heardAt: now, isListedLeaving: false, ...known, host: entry.host, hall: entry.hall, address,
	});
};

const stepListed = (membership: Membership, event: MembershipEvent & {type: 'listed'}, now: number): Membership => {
	let next = membership;
	for (const entry of event.hosts) {
		next = learn(next, entry, now);
		next = withHost(next, {...next.hosts.get(entry.host)!, isListedLeaving: entry.state === 'leaving'});
	}

	return next;
};

const stepHeard = (membership: Membership, event: MembershipEvent & {type: 'heard'}, now: number): Membership => {
	const {status} = event;
	const known = membership.hosts.get(status.host);
	// A status of an earlier incarnation may arrive late; incarnations sort by their start.
	if (known?.status && known.status.incarnation > status.incarnation) {
		return membership;
	}

	const {host, hall, address} = status;
	return withHost(membership, {
		isListedLeaving: false, ...known, host, hall, address, status, heardAt: now,
	});
};

const dropLongSilent = (membership: Membership, now: number): Membership => {
	const kept = [...membership.hosts].filter(([, {heardAt}]) => now - heardAt < dropAfterMs);
	return kept.length === membership.hosts.size ? membership : {...membership, hosts: new Map(kept)};
};

/**
Moves the picture of the hosts on by one event.

@param now Monotonic ms.
*/
export const stepMembership = (before: Membership, event: MembershipEvent, now: number): Membership => {
	const membership = forgiveSilence(before, now);
	switch (event.type) {
		case 'told': {
			let next = membership;
			for (const entry of event.hosts) {
				next = learn(next, entry, now);
			}

			return next;
		}

		case 'listed': {
			return stepListed(membership, event, now);
		}

		case 'heard': {
			return stepHeard(membership, event, now);
		}

		case 'tick': {
			return dropLongSilent(membership, now);
		}
	}
};
