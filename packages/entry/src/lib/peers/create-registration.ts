import {setTimeout as sleep} from 'node:timers/promises';
import type {ListedPeer} from '../../adapter/listed-peer.js';
import type {Log} from '../../adapter/log.js';
import type {PeerDirectory} from '../../adapter/peer-directory.js';

/** Between two calls to a directory that is out of reach, in ms. */
const retryPauseMs = 500;

/** Hosts that start together are all listed after this time, in ms. */
const settleMs = 1000;

/** When the directory is read once more after that, for hosts that came late, in ms. */
const readAgainMs = 4000;

type Options = {
	readonly directory: PeerDirectory;
	/** This host, as peers find it. */
	readonly self: () => ListedPeer;
	/** Opens this host to peers that know the secret. */
	readonly listen: (secret: string) => Promise<void>;
	/** Reads the directory. */
	readonly list: () => Promise<void>;
	readonly log: Log;
};

/** How this host is listed in the directory. */
type Registration = {
	/** Listens for peers, and lists this host. */
	readonly start: () => Promise<void>;
	/** Lists this host again, and shares the secret that it knows, in a directory that may have lost both. Does nothing before it is listed. */
	readonly renew: () => Promise<void>;
	/** Whether the directory was read after all hosts that started together had time to be listed. */
	readonly isSettled: () => boolean;
	readonly close: () => void;
};

/** Creates the registration of a host that is not listed. */
export const createRegistration = ({directory, self, listen, list, log}: Options): Registration => {
	let isClosed = false;
	let isSettled = false;
	/** The secret by which this host listens for peers. */
	let joinedWith: string | undefined;

	/** Calls the directory until it answers, or this host closes. */
	const untilDone = async <T>(ask: () => Promise<T | undefined>): Promise<T | undefined> => {
		for (;;) {
			const answered = await ask();
			if (answered !== undefined || isClosed) {
				return answered;
			}

			await sleep(retryPauseMs);
		}
	};

	// Others list themselves at about the same time.
	const register = async (): Promise<void> => {
		await untilDone(async () => await directory.register(self()) || undefined);
		await list();
		await sleep(settleMs, undefined, {ref: false});
		await list();
	};

	return {
		async start() {
			const secret = await untilDone(async () => directory.shareSecret());
			if (secret === undefined || isClosed) {
				return;
			}

			// A host listens before it is listed, so that no peer finds it listed and not listening.
			await listen(secret);
			joinedWith = secret;
			await register();
			isSettled = true;
			await sleep(readAgainMs, undefined, {ref: false});
			await list();
		},
		async renew() {
			const known = joinedWith;
			if (known === undefined) {
				return;
			}

			const shared = await untilDone(async () => directory.shareSecret(known));
			if (shared !== known) {
				log('peer_secret_replaced');
			}

			await register();
		},
		isSettled: () => isSettled,
		close() {
			isClosed = true;
		},
	};
};
