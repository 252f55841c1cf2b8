import type {LinkHealthEffect} from './link-health-effect.js';
import type {LinkHealthEvent} from './link-health-event.js';
import type {LinkHealth} from './link-health.js';
import {pingTimeoutMs} from './ping-timeout-ms.js';

type Step = {readonly health: LinkHealth; readonly effects: readonly LinkHealthEffect[]};

const unchanged = (health: LinkHealth): Step => ({health, effects: []});

const ping = (health: LinkHealth): Step => ({health: {...health, stage: 'pinged'}, effects: ['ping']});

/**
Computes the next health of a link from one event, and what to do about the link. Pure.

A connection may stop delivering data without being closed, so an open link is not taken to work. A peer that is only slow keeps its
link: the ping is sent before the second link is dialled and needs one round trip where the dial needs three. So a second link that
is up before the pong has come shows that the peer responds and that the first link is silent.

@param now The current time in monotonic ms.
*/
export const stepLinkHealth = (health: LinkHealth, event: LinkHealthEvent, now: number): Step => {
	const {stage, heardAt} = health;
	switch (event.type) {
		case 'heard': {
			return {health: {stage: 'calm', heardAt: now}, effects: stage === 'replacing' ? ['drop_replacement'] : []};
		}

		case 'unanswered': {
			return stage === 'calm' && heardAt < event.sentAt ? ping(health) : unchanged(health);
		}

		case 'doubted': {
			return stage === 'calm' && now - heardAt > pingTimeoutMs ? ping(health) : unchanged(health);
		}

		case 'ping_waited': {
			return stage === 'pinged' ? {health: {...health, stage: 'replacing'}, effects: ['dial_replacement']} : unchanged(health);
		}

		case 'replacement_up': {
			return stage === 'replacing' ? {health: {stage: 'calm', heardAt: now}, effects: ['replace']} : unchanged(health);
		}

		// The peer responds on neither link. The next request or message to the peer dials a new one.
		case 'replacement_failed': {
			return stage === 'replacing' ? {health: {...health, stage: 'calm'}, effects: ['close']} : unchanged(health);
		}
	}
};
