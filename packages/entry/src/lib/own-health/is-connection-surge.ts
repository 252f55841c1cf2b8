import type {ConnectionRate} from './connection-rate.js';

/** The multiple of the usual rate above which a host gets what others should get. Bursts that reach all hosts alike stay below it. */
const surgeFactor = 3;

/** The least rate that counts as usual, in connections a second: a host that has had few callers gets its first ones without a surge. */
const minUsual = 10;

/** Whether a host gets so many new connections that the balancer seems to send it those of other hosts. Pure. */
export const isConnectionSurge = ({recent, usual}: ConnectionRate): boolean => recent > surgeFactor * Math.max(usual, minUsual);
