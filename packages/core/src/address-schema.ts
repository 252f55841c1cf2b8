import {isIPv4} from 'node:net';
import {z} from 'zod';
import {splitAddress} from './split-address.js';

/** The highest TCP port. */
const maxPort = 65_535;

const isAddress = (text: string): boolean => {
	const {host, port} = splitAddress(text);
	return /^[\d.]+:\d+$/.test(text) && isIPv4(host) && port > 0 && port <= maxPort;
};

/** The address of a process: an IPv4 address and a TCP port, as `ip:port`. */
export const addressSchema = z.string().refine(isAddress, 'must be ip:port');
