import {performance} from 'node:perf_hooks';
import type {MeshOptions} from '../mesh-options.js';
import {dialLink} from './dial-link.js';
import type {DialledLink} from './dialled-link.js';
import type {LinkHealthEffect} from './link-health-effect.js';
import type {LinkHealthEvent} from './link-health-event.js';
import type {LinkHealth} from './link-health.js';
import type {PeerLink} from './peer-link.js';
import {pingWaitMs} from './ping-wait-ms.js';
import {stepLinkHealth} from './step-link-health.js';

type Options = {
	readonly address: string;
	readonly meshOptions: MeshOptions;
	/** Called when the link carried nothing any more and a second one took its place, with the time for which it was quiet, in ms. */
	readonly onReplaced: (quietMs: number) => void;
	readonly onClose: () => void;
};

/**
Dials a peer and keeps one link to it, which is replaced when it carries nothing any more.

It owns the connection in use and the one that may take its place; what to do about a quiet one is decided by
`stepLinkHealth`.
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
					end();
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

	const end = (): void => {
		isClosed = true;
		dropReplacement();
		onClose();
	};

	const ping = (): void => {
		link.ping();
		setTimeout(() => {
			// An answer that came while this process was busy elsewhere is read before this.
			setImmediate(() => {
				step({type: 'ping_waited'});
			});
		}, pingWaitMs);
	};

	const replace = (wasQuietMs: number): void => {
		const silent = link;
		link = replacement!;
		replacement = undefined;
		silent.close();
		onReplaced(wasQuietMs);
	};

	const perform: Readonly<Record<LinkHealthEffect, (wasQuietMs: number) => void>> = {
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
			perform[effect](wasQuietMs);
		}
	};

	let link = dial();
	return {
		quietMs,
		send(body) {
			link.send(body);
		},
		async request(body, timeoutMs) {
			const asked = link;
			const sentAt = performance.now();
			const outcome = await asked.request(body, timeoutMs);
			// A link that is still being dialled has a time-out of its own.
			if (!outcome.ok && asked === link && asked.isUp()) {
				step({type: 'unanswered', sentAt});
			}

			return outcome;
		},
		doubt() {
			if (link.isUp()) {
				step({type: 'doubted'});
			}
		},
		close() {
			link.close();
		},
	};
};
