import {performance} from 'node:perf_hooks';
import type {MeshOptions} from '../mesh-options.js';
import {dialLink} from './dial-link.js';
import type {DialledLink} from './dialled-link.js';
import type {LinkHealthEffect} from './link-health-effect.js';
import type {LinkHealthEvent} from './link-health-event.js';
import type {LinkHealth} from './link-health.js';
import type {PeerLink} from './peer-link.js';
import {pingTimeoutMs} from './ping-timeout-ms.js';
import {stepLinkHealth} from './step-link-health.js';

type Options = {
	/** The peer's `ip:port`. */
	readonly address: string;
	readonly meshOptions: MeshOptions;
	/** Called when a second connection has replaced a silent one, with the time since the last bytes over the silent one, in ms. */
	readonly onReplaced: (quietMs: number) => void;
	/** Called when the connection in use has closed; the link cannot be used any more. */
	readonly onClose: () => void;
};

/**
Dials a peer and keeps one link to it, whose connection is replaced when it is silent: open, but without delivering anything.

The link owns the connection in use and the one that may replace it. `stepLinkHealth` decides what to do about a connection that may
be silent.
*/
export const createPeerLink = ({address, meshOptions, onReplaced, onClose}: Options): PeerLink => {
	let health: LinkHealth = {stage: 'calm', heardAt: performance.now()};
	let replacement: DialledLink | undefined;
	let isClosed = false;

	const quietMs = (): number => performance.now() - health.heardAt;

	const dial = (): DialledLink => {
		const dialled = dialLink(address, meshOptions, {
			onUp() {
				if (dialled === replacement) {
					step({type: 'replacement_up'});
				}
			},
			onHeard() {
				if (dialled === link) {
					step({type: 'heard'});
				}
			},
			onClose() {
				if (dialled === replacement) {
					replacement = undefined;
					step({type: 'replacement_failed'});
				} else if (dialled === link) {
					handleClose();
				}
			},
		});
		return dialled;
	};

	const dropReplacement = (): void => {
		const dropped = replacement;
		replacement = undefined;
		dropped?.close();
	};

	const handleClose = (): void => {
		isClosed = true;
		dropReplacement();
		onClose();
	};

	const ping = (): void => {
		link.ping();
		setTimeout(() => {
			// A pong that arrived while this process was busy is read before this callback runs.
			setImmediate(() => {
				step({type: 'ping_waited'});
			});
		}, pingTimeoutMs);
	};

	const replace = (wasQuietMs: number): void => {
		const silentLink = link;
		link = replacement!;
		replacement = undefined;
		silentLink.close();
		onReplaced(wasQuietMs);
	};

	const effectHandlers: Readonly<Record<LinkHealthEffect, (wasQuietMs: number) => void>> = {
		ping,
		dial_replacement() {
			replacement = dial();
		},
		drop_replacement: dropReplacement,
		replace,
		close() {
			link.close();
		},
	};

	const step = (event: LinkHealthEvent): void => {
		if (isClosed) {
			return;
		}

		const wasQuietMs = quietMs();
		const next = stepLinkHealth(health, event, performance.now());
		health = next.health;
		for (const effect of next.effects) {
			effectHandlers[effect](wasQuietMs);
		}
	};

	let link = dial();
	return {
		quietMs,
		send(body) {
			link.send(body);
		},
		async request(body, timeoutMs) {
			const usedLink = link;
			const sentAt = performance.now();
			const outcome = await usedLink.request(body, timeoutMs);
			// A connection that is still being dialled has its own timeout (`dialTimeoutMs`).
			if (!outcome.ok && usedLink === link && usedLink.isUp()) {
				step({type: 'unanswered', sentAt});
			}

			return outcome;
		},
		checkHealth() {
			if (link.isUp()) {
				step({type: 'doubted'});
			}
		},
		close() {
			link.close();
		},
	};
};
