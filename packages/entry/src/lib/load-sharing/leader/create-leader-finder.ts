import type {Log} from '../../../adapter/log.js';
import type {PeerLinks} from '../../peers/peer-links.js';
import {smallHall} from '../../peers/small-hall.js';
import {createSilentHosts} from './create-silent-hosts.js';
import {pickLoadLeader} from './pick-load-leader.js';

/** Finds the load leader of this host's hall. Halls of up to `smallHall` hosts have none. */
type LeaderFinder = {
	/** The address of the leader, as the hosts in reach say now. */
	readonly find: () => string | undefined;
	/** Finds the leader, and logs it if it is another one than at the last update. */
	readonly update: () => string | undefined;
	/** The address that the last update found. */
	readonly lastFound: () => string | undefined;
	/** Notes that the host at an address left a message unanswered, or does not lead its hall. */
	readonly noteSilence: (address: string) => void;
	/** Whether the host at an address was noted as silent a moment ago. */
	readonly isSilent: (address: string) => boolean;
};

type Options = {
	readonly links: () => Pick<PeerLinks, 'hallPeers' | 'hallSize'>;
	readonly log: Log;
	/** Monotonic ms. */
	readonly now: () => number;
};

/** Creates a finder that has noted no silent hosts. */
export const createLeaderFinder = ({links, log, now}: Options): LeaderFinder => {
	const silent = createSilentHosts(now);
	let leaderAddress: string | undefined;

	const find = (): string | undefined =>
		links().hallSize() > smallHall ? pickLoadLeader(links().hallPeers(), silent.has)?.address : undefined;

	return {
		find,
		update() {
			const address = find();
			if (address !== leaderAddress) {
				leaderAddress = address;
				log('load_leader_changed', {leader: address ?? 'none', hosts: links().hallPeers().length});
			}

			return address;
		},
		lastFound: () => leaderAddress,
		noteSilence: silent.note,
		isSilent: silent.has,
	};
};
