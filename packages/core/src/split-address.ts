/** An address in its parts. */
type AddressParts = {readonly host: string; readonly port: number};

/** Splits an `ip:port`. The port of an address without one is `NaN`. */
export const splitAddress = (address: string): AddressParts => {
	const [host, port] = address.split(':');
	return {host: host!, port: Number(port)};
};
