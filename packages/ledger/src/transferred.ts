import type {Account} from './account.js';
import {sumOf} from './lib/sum-of.js';

/** Tokens received from other holders, less those given to them. */
export const transferred = ({received, given}: Account): number => sumOf(received.values()) - sumOf(given.values());
