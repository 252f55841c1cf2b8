import type {AdoptedBundle} from '@deckwheel/bundle';
import type {Clock, Refusal} from '@deckwheel/core';
import {hasCallerLeft} from '@deckwheel/host-kit';
import type {Context as KoaContext} from 'koa';
import {findCaller} from './find-caller.js';
import {gatewayRefusals} from './gateway-refusals.js';
import {readRequestOptions} from './reading/read-request-options.js';
import {readTextBody} from './reading/read-text-body.js';
import type {Visit} from './visit.js';

type Options = {
	/** The bundle in force. */
	readonly adopted: AdoptedBundle | undefined;
	/** Halls that could claim a request of a budget, best first. Never empty. */
	readonly homes: (budget: string) => readonly string[];
	readonly clock: Clock;
};

/** Lets a request in, or refuses it, by the bundle in force: its API key, its headers, the size of its body. */
export const admitVisit = async (ctx: KoaContext, {adopted, homes, clock}: Options): Promise<Visit | Refusal> => {
	if (!adopted) {
		return gatewayRefusals.notReady;
	}

	const caller = findCaller(adopted, ctx.get('authorization'));
	if (!caller) {
		return gatewayRefusals.unauthorized;
	}

	const options = readRequestOptions({
		header: name => ctx.get(name), bundle: adopted.bundle, home: homes(caller.budget)[0]!, caller, clock,
	});
	if (!options.ok) {
		return options.error;
	}

	const body = await readTextBody(ctx, adopted.bundle.limits.maxBodyBytes);
	return body.ok
		? {
			adopted, caller, options: options.value, body: body.value, isWanted: () => options.value.isKeyPresented || !hasCallerLeft(ctx.res),
		}
		: body.error;
};
