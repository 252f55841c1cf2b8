import {sumOf} from '../lib/sum-of.js';
import type {Holdings} from './holdings.js';

/** Tokens received from other holders, less those given to them. */
export const transferred = ({received, given}: Pick<Holdings, 'received' | 'given'>): number =>
	sumOf(received.values()) - sumOf(given.values());
