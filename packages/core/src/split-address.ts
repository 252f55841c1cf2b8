/** The IP address and the port of an `ip:port`. */
type AddressParts = {readonly host: string; readonly port: number};

/** Splits an `ip:port`. If the address has no port, `port` is `NaN`. */
export const splitAddress = (address: string): AddressParts => {
	const [host, port] = address.split(':');
	return {host: host!, port: Number(port)};
};
