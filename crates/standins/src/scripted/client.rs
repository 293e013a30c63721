//! A client, and what it got.

use super::*;

/// What a client got.
#[derive(Debug, Clone, PartialEq)]
pub enum Got {
    /// OK without rows.
    Ok,
    /// Rows of text.
    Rows(Vec<Vec<String>>),
    /// An error: number and text.
    Error(u16, String),
    /// The end of the connection.
    Closed,
}

/// A client of the MySQL protocol.
pub struct Client {
    /// Its connection.
    pub stream: TcpStream,
    /// The connection id of the greeting.
    pub id: u32,
}

fn packet(sequence: u8, body: &[u8]) -> Vec<u8> {
    let mut bytes = (body.len() as u32).to_le_bytes()[..3].to_vec();
    bytes.push(sequence);
    bytes.extend_from_slice(body);
    bytes
}

fn login() -> Vec<u8> {
    let mut body = (0x200u32 | 0x8000 | 0x8).to_le_bytes().to_vec();
    body.extend_from_slice(&[0; 28]);
    body.extend_from_slice(b"app\0\0main\0");
    packet(1, &body)
}

/// A command with a statement, as it is written.
pub fn query(sql: &str) -> Vec<u8> {
    packet(0, &[b"\x03", sql.as_bytes()].concat())
}

impl Client {
    /// Connects, writes login and first statement, and reads nothing yet.
    pub fn writes(to: SocketAddr, sql: &str) -> Client {
        Client::try_writes(to, sql).unwrap()
    }

    /// The same; an error if nobody listens there.
    pub fn try_writes(to: SocketAddr, sql: &str) -> std::io::Result<Client> {
        let mut stream = patient(TcpStream::connect(to)?);
        // One that is closed at once is seen as closed when it is read.
        let _ = stream.write_all(&[login(), query(sql)].concat());
        Ok(Client { stream, id: 0 })
    }

    /// Reads the greeting and the answer to the login.
    pub fn login_answer(&mut self) -> Got {
        if self.greeted() { self.got() } else { Got::Closed }
    }

    /// The same; whether it may ask.
    pub fn is_let_in(&mut self) -> bool {
        self.login_answer() == Got::Ok
    }

    fn greeted(&mut self) -> bool {
        let Some((_, greeting)) = self.packet() else { return false };
        let id = greeting.iter().position(|b| *b == 0).and_then(|at| greeting.get(at + 1..at + 5));
        let id = id.and_then(|bytes| bytes.try_into().ok()).map(u32::from_le_bytes);
        self.id = id.unwrap_or(0);
        id.is_some()
    }

    /// Connects, and writes login and first statement before it has read anything.
    pub fn says(to: SocketAddr, sql: &str) -> Client {
        let mut client = Client::writes(to, sql);
        client.greeted();
        client
    }

    /// Connects, logs in and asks, none of it for longer than a time; `None` if nobody takes it.
    pub fn dials(to: SocketAddr, sql: &str, connect: Duration, answer: Duration) -> Option<Client> {
        let mut stream = TcpStream::connect_timeout(&to, connect).ok()?;
        stream.set_read_timeout(Some(answer)).ok()?;
        stream.set_nodelay(true).ok()?;
        stream.write_all(&[login(), query(sql)].concat()).ok()?;
        let mut client = Client { stream, id: 0 };
        client.is_let_in().then_some(client)
    }

    /// The same, and logs in.
    pub fn asks(to: SocketAddr, sql: &str) -> Client {
        let mut client = Client::says(to, sql);
        assert_eq!(client.got(), Got::Ok);
        client
    }

    /// Writes a query.
    pub fn ask(&mut self, sql: &str) {
        self.try_ask(sql).unwrap();
    }

    /// Writes a query; an error if its connection is over.
    pub fn try_ask(&mut self, sql: &str) -> std::io::Result<()> {
        self.stream.write_all(&query(sql))
    }

    fn packet(&mut self) -> Option<(u8, Vec<u8>)> {
        let mut head = [0; 4];
        self.stream.read_exact(&mut head).ok()?;
        let mut body = vec![0; u32::from_le_bytes([head[0], head[1], head[2], 0]) as usize];
        self.stream.read_exact(&mut body).ok()?;
        Some((head[3], body))
    }

    /// One whole answer; every packet has to carry the next sequence id.
    pub fn got(&mut self) -> Got {
        let Some((mut last, body)) = self.packet() else { return Got::Closed };
        match body[0] {
            0 => return Got::Ok,
            0xff => {
                let code = u16::from_le_bytes([body[1], body[2]]);
                return Got::Error(code, String::from_utf8_lossy(&body[9..]).into_owned());
            }
            _ => {}
        }
        let (mut rows, mut ends) = (Vec::new(), 0);
        while ends < 2 {
            let Some((sequence, body)) = self.packet() else { return Got::Closed };
            last = last.wrapping_add(1);
            assert_eq!(sequence, last, "sequence id");
            match (body[0] == 0xfe && body.len() == 5, ends) {
                (true, _) => ends += 1,
                (false, 0) => {}
                (false, _) => {
                    let (mut cells, mut rest) = (Vec::new(), &body[..]);
                    while let Some((n, tail)) = rest.split_first() {
                        let (cell, tail) = tail.split_at(usize::from(*n));
                        cells.push(String::from_utf8(cell.to_vec()).unwrap());
                        rest = tail;
                    }
                    rows.push(cells);
                }
            }
        }
        Got::Rows(rows)
    }
}
