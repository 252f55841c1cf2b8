import type {LinkHealthEffect} from './link-health-effect.js';
import type {LinkHealthEvent} from './link-health-event.js';
import type {LinkHealth} from './link-health.js';
import {pingWaitMs} from './ping-wait-ms.js';

type Step = {readonly health: LinkHealth; readonly effects: readonly LinkHealthEffect[]};

const stay = (health: LinkHealth): Step => ({health, effects: []});

const ping = (health: LinkHealth): Step => ({health: {...health, stage: 'pinged'}, effects: ['ping']});

/**
Moves what is known of a link on by one event. Pure.

A connection may stop carrying anything without a sign, so a link is not trusted for being open. A peer that is only late
keeps its link: the ping was sent before the second link was dialled and needs one round trip where the dial needs three, so
a second link that is up first shows that the peer answers and the first link does not carry.

@param now Monotonic ms.
*/
export const stepLinkHealth = (health: LinkHealth, event: LinkHealthEvent, now: number): Step => {
	const {stage, heardAt} = health;
	switch (event.type) {
		case 'heard': {
			return {health: {stage: 'calm', heardAt: now}, effects: stage === 'replacing' ? ['drop_replacement'] : []};
		}

		case 'unanswered': {
			return stage === 'calm' && heardAt < event.sentAt ? ping(health) : stay(health);
		}

		case 'doubted': {
			return stage === 'calm' && now - heardAt > pingWaitMs ? ping(health) : stay(health);
		}

		case 'ping_waited': {
			return stage === 'pinged' ? {health: {...health, stage: 'replacing'}, effects: ['dial_replacement']} : stay(health);
		}

		case 'replacement_up': {
			return stage === 'replacing' ? {health: {stage: 'calm', heardAt: now}, effects: ['replace']} : stay(health);
		}

		// The peer answers on neither. A new link is dialled when it is needed.
		case 'replacement_failed': {
			return stage === 'replacing' ? {health: {...health, stage: 'calm'}, effects: ['close']} : stay(health);
		}
	}
};
