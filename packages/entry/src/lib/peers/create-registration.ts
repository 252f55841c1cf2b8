import {setTimeout as sleep} from 'node:timers/promises';
import {stackOf} from '@deckwheel/core';
import type {ListedPeer} from '../../adapter/listed-peer.js';
import type {Log} from '../../adapter/log.js';
import type {PeerDirectory} from '../../adapter/peer-directory.js';

/** The delay between two calls to an unreachable directory, in ms. */
const retryDelayMs = 500;

/** How long after a host was listed the hosts that started together with it are taken to be listed too, in ms. */
const settleDelayMs = 1000;

/** How long after `settleDelayMs` the directory is read once more, for hosts that were listed later, in ms. */
const lateReadDelayMs = 4000;

type Options = {
	readonly directory: PeerDirectory;
	/** This host, as peers find it. */
	readonly self: () => ListedPeer;
	/** Starts to listen for peers that know the secret. Rejects where this host cannot listen. */
	readonly listen: (secret: string) => Promise<void>;
	/** Reads the listed hosts from the directory. Resolves with whether it answered. */
	readonly readPeerList: () => Promise<boolean>;
	readonly log: Log;
};

/** The entry of this host in the directory. */
type Registration = {
	/** Listens for peers, lists this host in the directory and reads the directory. Resolves after the last read. */
	readonly start: () => Promise<void>;
	/** Shares this host's secret and lists this host again, in a directory that may have lost both. Does nothing before this host listens. */
	readonly renew: () => Promise<void>;
	/** Whether the directory has answered a read after `settleDelayMs`, when the hosts that started together with this one are listed. */
	readonly isSettled: () => boolean;
	/** Ends the retries of calls to the directory. */
	readonly close: () => void;
};

/** Creates the registration of a host that is not listed in the directory yet. */
export const createRegistration = ({directory, self, listen, readPeerList, log}: Options): Registration => {
	let isClosed = false;
	let isSettled = false;
	/** The secret with which this host listens for peers; `undefined` until it listens. */
	let listeningSecret: string | undefined;

	/** Calls the directory once. An error counts as no answer, so that it does not end the registration for good. */
	const callOnce = async <T>(call: () => Promise<T | undefined>): Promise<T | undefined> => {
		try {
			return await call();
		} catch (error) {
			log('registration_failed', {stack: stackOf(error)});
			return undefined;
		}
	};

	/** Calls the directory until it answers or the registration is closed. */
	const retryUntilAnswered = async <T>(call: () => Promise<T | undefined>): Promise<T | undefined> => {
		for (;;) {
			const result = await callOnce(call);
			if (result !== undefined || isClosed) {
				return result;
			}

			await sleep(retryDelayMs);
		}
	};

	const listenUntilOpen = async (secret: string): Promise<true | undefined> => retryUntilAnswered(async () => {
		try {
			await listen(secret);
			return true;
		} catch (error) {
			log('listen_failed', {address: self().address, error: (error as Error).message});
			return undefined;
		}
	});

	// A read without an answer tells nothing of peers, so it is no reason to take this host for the only one.
	const readUntilAnswered = async (): Promise<boolean> => await retryUntilAnswered(async () => await readPeerList() || undefined) ?? false;

	// Hosts that start together list themselves at about the same time: the first read of the directory may miss some of them.
	const register = async (): Promise<boolean> => {
		await retryUntilAnswered(async () => await directory.register(self()) || undefined);
		await readUntilAnswered();
		await sleep(settleDelayMs, undefined, {ref: false});
		return readUntilAnswered();
	};

	return {
		async start() {
			const secret = await retryUntilAnswered(async () => directory.shareSecret());
			if (secret === undefined || isClosed) {
				return;
			}

			// This host listens before it is listed, so that no peer finds it listed and cannot connect.
			if (!await listenUntilOpen(secret)) {
				return;
			}

			listeningSecret = secret;
			isSettled = await register();
			await sleep(lateReadDelayMs, undefined, {ref: false});
			await callOnce(readPeerList);
		},
		async renew() {
			const ownSecret = listeningSecret;
			if (ownSecret === undefined) {
				return;
			}

			const sharedSecret = await retryUntilAnswered(async () => directory.shareSecret(ownSecret));
			if (sharedSecret !== ownSecret) {
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
