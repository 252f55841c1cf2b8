import type {Schedule} from '../../adapter/schedule.js';
import type {FoundOrigin} from './found-origin.js';
import type {HeardHalls} from './heard-halls.js';
import type {StoredStreams} from './stored/stored-streams.js';
import {untilTimeout} from './stored/until-timeout.js';

/** How long a take-up waits for the store before peers are asked to read it, in ms. */
const maxStoreWaitMs = 500;

/** Who showed that a service has one version. */
type SingleProof = (FoundOrigin & {readonly type: 'single'})['by'];

type Options = {
	/** Whether this host has just started, so that it does not know of versions that served before. */
	readonly isRecent: () => boolean;
	/** Whether a peer that has been up for long replied since an instant, in monotonic ms. */
	readonly hasSettledReply: (since: number) => boolean;
	readonly hasPeers: () => boolean;
	readonly stored: Pick<StoredStreams, 'ensureRead' | 'readAgain'>;
	readonly schedule: Schedule;
};

/**
Creates the function that makes sure that a host knows of all versions whose streams may be taken up, after it asked peers at an instant and heard
these halls. `readAtPeers` lets peers read the store for this host. Resolves with who showed it, and with `undefined` where nobody could.

Lists of endpoints that were confirmed a while ago may lack a version. They count where the store cannot be read either: in an outage of the store
all lists are old, and no list gets a version.
*/
export const createVersionProof = ({isRecent, hasSettledReply, hasPeers, stored, schedule}: Options) => {
	/** Shows that this host knows of the versions that came since it read its list. */
	const showNewer = async (heard: HeardHalls, readAtPeers: () => Promise<boolean>): Promise<SingleProof | undefined> => {
		if (heard === 'recent') {
			return hasPeers() ? 'peers' : 'nobody';
		}

		const read = stored.readAgain();
		if (await untilTimeout(read, maxStoreWaitMs, schedule) !== undefined || await readAtPeers()) {
			return 'store';
		}

		if (heard === 'outdated') {
			return 'outdated_peers';
		}

		return await read === undefined ? undefined : 'store';
	};

	return async (askedAt: number, heard: HeardHalls, readAtPeers: () => Promise<boolean>): Promise<SingleProof | undefined> => {
		const by = await showNewer(heard, readAtPeers);
		const isOlderKnown = by === 'store' || !isRecent() || hasSettledReply(askedAt);
		if (by === undefined || isOlderKnown) {
			return by;
		}

		return await stored.ensureRead() ? 'store' : undefined;
	};
};
