import {hash32} from '../hash32.js';

/** A member's weight for a key in rendezvous hashing. Every host computes the same weight. */
export const rendezvousWeight = (key: string, member: string): number => hash32(`${member}\n${key}`);
