import {connect, type Socket} from 'node:net';
import {splitAddress} from '@deckwheel/core';
import {guardSocket} from './guard-socket.js';

/** Opens a connection to the endpoint at `address`, an `ip:port`. The socket is destroyed when the connection fails. */
export const openSocket = (address: string): Socket => guardSocket(connect({...splitAddress(address), noDelay: true}));
