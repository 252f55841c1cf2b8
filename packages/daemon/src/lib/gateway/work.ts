import type {Refusal} from '@deckwheel/core';
import type {Context as KoaContext} from 'koa';
import type {Visit} from './visit.js';

/** Serves one request that was let in. Resolves with a refusal where the request got no answer of its own. */
export type Work = (ctx: KoaContext, visit: Visit) => Promise<Refusal | undefined>;
